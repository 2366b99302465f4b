package exchanger

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"rhubarbtrack.example/rhubarbtrackd/internal/copier"
)

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// Forwardable returns a copy of header without hop-by-hop headers, including those named by Connection.
func Forwardable(header http.Header) http.Header {
	kept := make(http.Header, len(header))
	for name, values := range header {
		if !hopByHopHeaders[name] {
			kept[name] = values
		}
	}
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			delete(kept, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return kept
}

func appendRequest(buffer []byte, req *Request) []byte {
	field := func(name, value string) {
		buffer = append(buffer, name...)
		buffer = append(buffer, ": "...)
		buffer = append(buffer, value...)
		buffer = append(buffer, "\r\n"...)
	}
	buffer = append(buffer, req.Method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, req.URI...)
	buffer = append(buffer, " HTTP/1.1\r\n"...)
	field("Host", req.Host)
	for name, values := range req.Header {
		if replaced(req.Extra, name) {
			continue
		}
		for _, value := range values {
			field(name, value)
		}
	}
	for _, extra := range req.Extra {
		field(extra[0], extra[1])
	}
	switch {
	case req.Stream != nil && req.Length < 0:
		field("Transfer-Encoding", "chunked")
	case req.Stream != nil:
		field("Content-Length", strconv.FormatInt(req.Length, 10))
	case len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead):
		field("Content-Length", strconv.Itoa(len(req.Body)))
	}
	buffer = append(buffer, "\r\n"...)
	return append(buffer, req.Body...)
}

func replaced(extra [][2]string, name string) bool {
	for _, e := range extra {
		if e[0] == name {
			return true
		}
	}
	return false
}

func sendStream(c *pooledConn, req *Request) error {
	err := copier.Copy(func(data []byte) error {
		_, err := c.Write(data)
		return err
	}, req.Stream, req.Length)
	if copier.KindOf(err) == copier.Incomplete {
		// Closing the connection prevents the upstream from taking the truncated body for a complete one.
		_ = c.Close()
	}
	return err
}
