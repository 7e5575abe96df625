package transport

import (
	"context"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

// ReportUnencodable returns an interceptor that calls report with the method and the fields of each
// message that cannot be encoded: a request of a client, or a response of a server.
func ReportUnencodable(report func(method string, fields []string)) twirp.Interceptor {
	return func(next twirp.Method) twirp.Method {
		return func(ctx context.Context, request any) (any, error) {
			response, err := next(ctx, request)
			if m, ok := response.(proto.Message); ok && err == nil {
				reportFields(ctx, m, report)
			}
			return response, err
		}
	}
}

func reportFields(ctx context.Context, m proto.Message, report func(method string, fields []string)) {
	if fields := peer.Unencodable(m); len(fields) > 0 {
		method, _ := twirp.MethodName(ctx)
		report(method, fields)
	}
}
