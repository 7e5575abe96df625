package serve

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"auburnscale/peer"
)

// TestCompressDocument checks that a configuration of thousands of routes is
// compressed and decompresses to the same bytes, that a small one is left as it
// is, and that damaged data is reported with the version.
func TestCompressDocument(t *testing.T) {
	var routes []string
	for i := range 2000 {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"h%d.example","prefix":"/p%d/","kind":"safe","timeoutMs":900,"service":"desk","attempts":1}`, i, i%7, i))
	}
	large := []byte(`{"version":8,"routes":[` + strings.Join(routes, ",") + `],"services":[{"name":"desk"}]}`)
	document := compressDocument(8, large)
	require.True(t, document.Packed)
	require.Less(t, len(document.Body), len(large)/5)
	body, err := decompressDocument(document)
	require.NoError(t, err)
	require.Equal(t, large, body)
	snapshot, version, err := decodeDocument(document)
	require.NoError(t, err)
	require.EqualValues(t, 8, version)
	require.Len(t, snapshot.Routes(), 2000)

	small := []byte(`{"version":2}`)
	require.Equal(t, &peer.ReplaceDocument{Version: 2, Body: small}, compressDocument(2, small))

	_, err = decompressDocument(&peer.ReplaceDocument{Version: 3, Packed: true, Body: []byte("torn")})
	require.ErrorContains(t, err, "version 3")
}
