// Package sample has answers in wire format, for tests of programs that read answers.
package sample

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// Answer is an answer in wire format.
type Answer struct{ Name, Text string }

// Malformed returns answers that RFC 9110 and RFC 9112 don't allow. A reader that overlooks what is
// wrong with one gets a whole answer with body; fields holds lines of its head, each with its CRLF.
func Malformed(fields, body string) []Answer {
	ok := "HTTP/1.1 200 OK\r\n" + fields
	end := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	chunks := fmt.Sprintf("\r\n%x\r\n%s\r\n0\r\n", len(body), body)
	chunked := "Transfer-Encoding: chunked\r\n"
	return []Answer{
		{"status 000", "HTTP/1.1 000 x\r\n" + fields + end},
		{"status 099", "HTTP/1.1 099 x\r\n" + fields + end},
		{"status 000 before an answer", "HTTP/1.1 000 x\r\n\r\n" + ok + end},
		{"status 099 before an answer", "HTTP/1.1 099 x\r\n\r\n" + ok + end},
		{"status +12 before an answer", "HTTP/1.1 +12 x\r\n\r\n" + ok + end},
		{"status 101 without an upgrade", "HTTP/1.1 101 x\r\n" + fields + "\r\n"},
		{"status 101 before an answer", "HTTP/1.1 101 x\r\n\r\n" + ok + end},
		{"status 600", "HTTP/1.1 600 x\r\n" + fields + end},
		{"status 999", "HTTP/1.1 999 x\r\n" + fields + end},
		{"status of two digits", "HTTP/1.1 20 x\r\n" + fields + end},
		{"HTTP/3.7", "HTTP/3.7 200 OK\r\n" + fields + end},
		{"HTTP/0.9", "HTTP/0.9 200 OK\r\n" + fields + end},
		{"blank in a name", ok + "A b: c\r\n" + end},
		{"blank before a colon", ok + "A : c\r\n" + end},
		{"blank after Content-Length", ok + "Content-Length : 1\r\n\r\n" + body},
		{"blank after Transfer-Encoding", ok + "Transfer-Encoding : chunked\r\n" + chunks + "\r\n"},
		{"blank in a name of an interim response", "HTTP/1.1 103 x\r\nA b: c\r\n\r\n" + ok + end},
		{"blank in a name of the trailer", ok + chunked + chunks + "A b: c\r\n\r\n"},
		{"tab in a name", ok + "A\tb: c\r\n" + end},
		{"NUL in a name", ok + "A\x00b: c\r\n" + end},
		{"DEL in a name", ok + "A\x7fb: c\r\n" + end},
		{"control byte in a name of the trailer", ok + chunked + chunks + "A\x01b: c\r\n\r\n"},
		{"control byte in a name of an interim response", "HTTP/1.1 103 x\r\nA\x01b: c\r\n\r\n" + ok + end},
		{"byte beyond ASCII in a name", ok + "A\xffb: c\r\n" + end},
		{"empty name", ok + ": c\r\n" + end},
		{"no colon", ok + "A\r\n" + end},
		{"NUL in a value", ok + "A: b\x00c\r\n" + end},
		{"CR in a value", ok + "A: b\rc\r\n" + end},
		{"two lengths", ok + "Content-Length: 1\r\n" + end},
		{"signed length", ok + fmt.Sprintf("Content-Length: +%d\r\n\r\n%s", len(body), body)},
		{"unknown encoding", ok + "Transfer-Encoding: x\r\n" + end},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + chunked + chunks + "\r\n"},
		{"chunks in HTTP/1.0, other spelling", "HTTP/1.0 200 OK\r\n" + fields + "transfer-ENCODING:chunked\r\n" + chunks + "\r\n"},
		{"chunks and a length in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + chunked + end},
	}
}

// Unusual returns whole answers with body and fields that are allowed, though few programs send
// them.
func Unusual(fields, body string) []Answer {
	ok := "HTTP/1.1 200 OK\r\n" + fields
	end := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	return []Answer{
		{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 x\r\nA: b\r\n\r\nHTTP/1.1 199 x\r\n\r\n" + ok + end},
		{"status 299", "HTTP/1.1 299 x\r\n" + fields + end},
		{"status 599", "HTTP/1.1 599 x\r\n" + fields + end},
		{"no reason", "HTTP/1.1 200 \r\n" + fields + end},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + end},
		{"HTTP/1.0 without a length", "HTTP/1.0 200 OK\r\n" + fields + "Connection: close\r\n\r\n" + body},
		{"HTTP/1.7", "HTTP/1.7 200 OK\r\n" + fields + end},
		{"all characters of a name", ok + "!#$%&'*+-.^_`|~09azAZ: c\r\n" + end},
		{"no blank after a colon", ok + "A:b\r\n" + end},
		{"empty value", ok + "A:\r\n" + end},
		{"folded value", ok + "A: b\r\n c: d\r\n" + end},
		{"trailer", ok + fmt.Sprintf("Trailer: A, B\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nA: b\r\n\r\n", len(body), body)},
	}
}

// Serve starts a server that answers each request with text and then closes the connection. It
// returns its URL.
func Serve(t testing.TB, text string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answer(c, text)
		}
	}()
	return "http://" + ln.Addr().String()
}

func answer(c net.Conn, text string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	io.Copy(io.Discard, r.Body)
	io.WriteString(c, text)
}
