package transport

import (
	"context"
	"fmt"
	"strings"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"auburnscale/peer"
)

// A TextReport is called with the method and the fields of a message that could not be encoded.
type TextReport func(method string, fields []string)

// encodableResponses returns an interceptor of a server that leaves out of each response what cannot be
// encoded, and reports it. A row that cannot be sent must not cost the rest of the response.
func encodableResponses(report TextReport) twirp.Interceptor {
	return func(next twirp.Method) twirp.Method {
		return func(ctx context.Context, request any) (any, error) {
			response, err := next(ctx, request)
			if m, ok := response.(proto.Message); ok && err == nil {
				return encodable(ctx, m, report), nil
			}
			return response, err
		}
	}
}

// encodableRequests is an interceptor of a client that leaves out of each request the elements of lists
// that cannot be encoded. Other text is not changed, since a request may name what it changes: such
// a request fails.
func encodableRequests(next twirp.Method) twirp.Method {
	return func(ctx context.Context, request any) (any, error) {
		m, ok := request.(proto.Message)
		if !ok {
			return next(ctx, request)
		}
		repaired, fields := peer.Encodable(m)
		for _, field := range fields {
			if !strings.Contains(field, "[") {
				return nil, twirp.InvalidArgumentError(field, fmt.Sprintf("is not UTF-8 in a request of %s", methodName(ctx)))
			}
		}
		return next(ctx, repaired)
	}
}

func encodable(ctx context.Context, m proto.Message, report TextReport) proto.Message {
	repaired, fields := peer.Encodable(m)
	if len(fields) > 0 {
		report(methodName(ctx), fields)
	}
	return repaired
}

func methodName(ctx context.Context) string {
	name, _ := twirp.MethodName(ctx)
	return name
}
