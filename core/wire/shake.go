package wire

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"time"
)

const (
	nonceSize        = 16
	handshakeTimeout = 5 * time.Second
)

// ErrFleetKey reports a peer that does not hold the fleet's key.
var ErrFleetKey = errors.New("wire: peer does not hold the fleet's key: set the same fleet key on both ends, and keep the old one accepted while it is replaced")

// ErrHandshake reports a peer that did not open the link as it must.
var ErrHandshake = errors.New("wire: handshake failed: check that the address is a lycheepond link port")

// Keys are the fleet's keys.
type Keys struct {
	// Current proves this process to its peers.
	Current []byte
	// Accepted are keys that a peer may prove itself with, Current included;
	// two stand here while a key is being replaced.
	Accepted [][]byte
}

// OneKey returns Keys that use and accept only key.
func OneKey(key []byte) Keys { return Keys{Current: key, Accepted: [][]byte{key}} }

// Open does the handshake on a fresh connection, either end, and returns the
// peer's Hello.
func Open(ctx context.Context, conn net.Conn, self Hello, keys Keys) (Hello, error) {
	self.Version = Version
	self.Nonce = make([]byte, nonceSize)
	if _, err := rand.Read(self.Nonce); err != nil {
		return Hello{}, err
	}
	limit := time.Now().Add(handshakeTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(limit) {
		limit = d
	}
	if err := conn.SetDeadline(limit); err != nil {
		return Hello{}, err
	}
	unhook := context.AfterFunc(ctx, func() { conn.Close() })
	defer unhook()
	peer, err := exchange(conn, self, keys)
	if err != nil {
		return Hello{}, err
	}
	return peer, conn.SetDeadline(time.Time{})
}

func exchange(conn net.Conn, self Hello, keys Keys) (Hello, error) {
	if err := writeOne(conn, &self); err != nil {
		return Hello{}, err
	}
	var peer Hello
	if err := readOne(conn, &peer); err != nil {
		return Hello{}, err
	}
	if peer.Version != Version {
		return Hello{}, fmt.Errorf("%w: peer speaks version %d, this process version %d", ErrHandshake, peer.Version, Version)
	}
	if len(peer.Nonce) != nonceSize || string(peer.Nonce) == string(self.Nonce) {
		return Hello{}, ErrHandshake
	}
	if err := writeOne(conn, &Proof{MAC: proof(keys.Current, &self, peer.Nonce)}); err != nil {
		return Hello{}, err
	}
	var answer Proof
	if err := readOne(conn, &answer); err != nil {
		return Hello{}, err
	}
	for _, key := range keys.Accepted {
		if hmac.Equal(answer.MAC, proof(key, &peer, self.Nonce)) {
			return peer, nil
		}
	}
	return Hello{}, ErrFleetKey
}

// proof is the MAC by which the sender of h shows the key to the peer that
// chose nonce.
func proof(key []byte, h *Hello, nonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(nonce)
	mac.Write(h.Nonce)
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], h.Incarnation)
	mac.Write(n[:])
	mac.Write([]byte{byte(h.Role), byte(len(h.Name) >> 8), byte(len(h.Name))})
	mac.Write([]byte(h.Name))
	mac.Write([]byte(h.Zone))
	return mac.Sum(nil)
}

func writeOne(conn net.Conn, m Message) error {
	buf, err := Append(nil, m)
	if err != nil {
		return err
	}
	_, err = conn.Write(buf)
	return err
}

// readOne reads one message without reading past it. A handshake is small, so
// its frames are read unbuffered.
func readOne[M any, P interface {
	*M
	Message
}](conn net.Conn, into P) error {
	m, err := NewReader(&oneFrame{conn: conn}).Next()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrHandshake, err)
	}
	got, ok := m.(P)
	if !ok {
		return fmt.Errorf("%w: got %s", ErrHandshake, m.Kind())
	}
	*into = *got
	return nil
}

// maxHandshake is the largest handshake frame in bytes.
const maxHandshake = 4 << 10

// oneFrame reads exactly one frame from a connection.
type oneFrame struct {
	conn net.Conn
	// left is how much of the frame is still to come once header is set.
	left   int
	header bool
}

// Read implements io.Reader.
func (o *oneFrame) Read(p []byte) (int, error) {
	if !o.header {
		if len(p) < headerSize {
			return 0, ErrFrameSize
		}
		n, err := readFull(o.conn, p[:headerSize])
		if err != nil {
			return n, err
		}
		o.left = int(binary.BigEndian.Uint32(p[:4]))
		if o.left > maxHandshake {
			return 0, ErrFrameSize
		}
		o.header = true
		return n, nil
	}
	n, err := o.conn.Read(p[:min(len(p), o.left)])
	o.left -= n
	return n, err
}

func readFull(conn net.Conn, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := conn.Read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
