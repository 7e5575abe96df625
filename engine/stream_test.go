package engine

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// readAll returns the text of the stream and how it ended.
func readAll(body io.Reader, resumeAt int) (string, error) {
	s := &Stream{keep: func(int) error { return nil }, lines: newLineScanner(body), position: resumeAt}
	var text strings.Builder
	for {
		chunk, err := s.Next()
		if err != nil {
			return text.String(), err
		}
		text.WriteString(chunk.Text())
	}
}

func chunkOf(position int) string {
	return fmt.Sprintf(`{"choices":[{"text":"w%d "}],"position":%d}`, position, position)
}

const finishChunk = `{"choices":[{"text":"","finish_reason":"stop"}]}`

// Guards against completions that are taken for broken, or lose tokens, because the engine writes its events in
// another form that the format of event streams allows.
func TestStreamInAnyForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		space := rapid.SampledFrom([]string{"", " "}).Draw(t, "space")
		var stream strings.Builder
		stream.WriteString(rapid.SampledFrom([]string{"", "\ufeff"}).Draw(t, "mark"))
		for n, data := range []string{chunkOf(1), chunkOf(2), finishChunk, "[DONE]"} {
			for range rapid.IntRange(0, 2).Draw(t, "other lines") {
				stream.WriteString(rapid.SampledFrom([]string{": data: x", "event: chunk", "id: data: 5", "retry: 3", "data2: x"}).Draw(t, "line") + end)
			}
			if n < 3 && rapid.Bool().Draw(t, "two lines") {
				first, second, _ := strings.Cut(data, ",")
				if second != "" {
					data = first + "," + end + "data:" + space + second
				}
			}
			stream.WriteString("data:" + space + data + end + end)
		}
		body := io.Reader(strings.NewReader(stream.String()))
		if rapid.Bool().Draw(t, "byte by byte") {
			body = iotest.OneByteReader(body)
		}
		text, err := readAll(body, 0)
		require.Equal(t, io.EOF, err, "%q", stream.String())
		require.Equal(t, "w1 w2 ", text)
	})
}

// Guards against a response that is cut anywhere, or that is no stream, and that ends a completion as if it were
// whole.
func TestOnlyTheEndMarkerEndsAStream(t *testing.T) {
	whole := "data: " + chunkOf(1) + "\n\ndata: " + finishChunk + "\n\ndata: [DONE]\n\n"
	marker := strings.Index(whole, "[DONE]") + len("[DONE]")
	for cut := range marker {
		_, err := readAll(strings.NewReader(whole[:cut]), 0)
		require.ErrorIs(t, err, ErrBroken, "%q", whole[:cut])
	}
	for cut := marker; cut <= len(whole); cut++ {
		_, err := readAll(strings.NewReader(whole[:cut]), 0)
		require.Equal(t, io.EOF, err, "%q", whole[:cut])
	}
	for _, body := range []string{
		"", "\n\n", ": ping\n\n", "data: [DONE]\n\n", "data\n\n", "{\"error\":\"failed\"}", "event: error\ndata: {\"error\":{\"message\":\"failed\"}}\n\ndata: [DONE]\n\n",
		"HTTP/1.1 503 Busy\r\nContent-Length: 6\r\n\r\nfailed", "data: " + chunkOf(1) + "\n\n" + "<h1>failed</h1>\n\n",
	} {
		_, err := readAll(strings.NewReader(body), 0)
		require.ErrorIs(t, err, ErrBroken, "%q", body)
	}
	_, err := readAll(strings.NewReader("data: "+chunkOf(1)+"\n\n"), 1)
	require.True(t, errors.Is(err, ErrTokenSequence), "a resumed completion that begins again: %v", err)
}
