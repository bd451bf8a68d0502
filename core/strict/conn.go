package strict

import (
	"bytes"
	"fmt"
	"net"
	"strings"
)

const (
	version10 = "HTTP/1.0"
	// maxHead10Bytes bounds a head of HTTP/1.0.
	maxHead10Bytes = 64 << 10
)

// conn is a connection whose first head is checked by CheckEncoding. An endpoint that speaks
// HTTP/1.0 does so from its first answer on.
type conn struct {
	net.Conn
	// head holds what has arrived of the first head, until isChecked is set. It belongs to the
	// goroutine that reads.
	head      []byte
	isChecked bool
}

// Read fails before the end of a head that CheckEncoding refuses.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isChecked {
		return n, err
	}
	c.head = append(c.head, p[:n]...)
	if err := CheckEncoding(c.head); err != nil {
		return 0, err
	}
	mayBe10 := strings.HasPrefix(version10, string(c.head[:min(len(c.head), len(version10))]))
	if !mayBe10 || bytes.Contains(c.head, []byte("\n\r\n")) || bytes.Contains(c.head, []byte("\n\n")) {
		c.isChecked, c.head = true, nil
	}
	if len(c.head) > maxHead10Bytes {
		return 0, fmt.Errorf("strict: no end of the head in the first %d bytes", maxHead10Bytes)
	}
	return n, err
}
