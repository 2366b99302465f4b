package acceptor

import (
	"bufio"
	"bytes"
	"io"
	"testing"
)

// FuzzRequest checks that no bytes of a caller make the parser panic, and that an accepted head has an end.
func FuzzRequest(f *testing.F) {
	for _, text := range []string{
		"GET /a/b?c HTTP/1.1\r\nHost: h\r\n\r\n",
		"\r\nPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\na\r\n0\r\nA: b\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n folded\r\n\r\n",
		"GET http://h:99999/%zz HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	const limit = 4096
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bufio.NewReaderSize(bytes.NewReader(data), 2<<10)
		head, err := readHead(reader, limit)
		if err != nil {
			return
		}
		if len(head) > limit || !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
			t.Fatalf("head of %d bytes ends with %q", len(head), head[max(0, len(head)-4):])
		}
		parsed, err := parseHead(head)
		if err != nil {
			return
		}
		if source, length := body(parsed, reader); source != nil {
			n, err := io.Copy(io.Discard, source)
			if err == nil && length >= 0 && n != length {
				t.Fatalf("read %d of %d bytes without an error", n, length)
			}
		}
	})
}
