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
	// nonceSize is the size of a Hello's nonce in bytes.
	nonceSize = 16
	// handshakeTimeout bounds the duration of a handshake.
	handshakeTimeout = 5 * time.Second
)

// ErrFleetKey reports a peer that does not hold the fleet key.
var ErrFleetKey = errors.New("wire: peer does not hold the fleet's key: set the same fleet key on both ends, and keep the old one accepted while it is replaced")

// ErrHandshake reports a peer that did not follow the handshake.
var ErrHandshake = errors.New("wire: handshake failed: check that the address is a lycheepond link port")

// Keys holds the fleet keys of a process.
type Keys struct {
	// Current is the key with which this process proves itself to its peers.
	Current []byte
	// Accepted lists the keys that a peer may prove itself with, including Current.
	// It has two keys while the fleet key is being replaced.
	Accepted [][]byte
}

// OneKey returns Keys that use and accept only key.
func OneKey(key []byte) Keys { return Keys{Current: key, Accepted: [][]byte{key}} }

// Handshake performs the handshake on a new connection, at either end, and returns
// the peer's Hello. The deadline is that of ctx, or handshakeTimeout if that is
// earlier. Handshake does not close conn on an error, except when ctx ends.
func Handshake(ctx context.Context, conn net.Conn, self Hello, keys Keys) (Hello, error) {
	self.Version = Version
	self.Nonce = make([]byte, nonceSize)
	if _, err := rand.Read(self.Nonce); err != nil {
		return Hello{}, err
	}
	deadline := time.Now().Add(handshakeTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return Hello{}, err
	}
	stopWatch := context.AfterFunc(ctx, func() { conn.Close() })
	defer stopWatch()
	peer, err := exchange(conn, self, keys)
	if err != nil {
		return Hello{}, err
	}
	return peer, conn.SetDeadline(time.Time{})
}

// exchange sends self, reads the peer's Hello and verifies the proofs of both ends.
func exchange(conn net.Conn, self Hello, keys Keys) (Hello, error) {
	if err := writeMessage(conn, &self); err != nil {
		return Hello{}, err
	}
	var peer Hello
	if err := readMessage(conn, &peer); err != nil {
		return Hello{}, err
	}
	if peer.Version != Version {
		return Hello{}, fmt.Errorf("%w: peer speaks version %d, this process version %d", ErrHandshake, peer.Version, Version)
	}
	if len(peer.Nonce) != nonceSize || string(peer.Nonce) == string(self.Nonce) {
		return Hello{}, ErrHandshake
	}
	if err := writeMessage(conn, &Proof{MAC: proofMAC(keys.Current, &self, peer.Nonce)}); err != nil {
		return Hello{}, err
	}
	var peerProof Proof
	if err := readMessage(conn, &peerProof); err != nil {
		return Hello{}, err
	}
	for _, key := range keys.Accepted {
		if hmac.Equal(peerProof.MAC, proofMAC(key, &peer, self.Nonce)) {
			return peer, nil
		}
	}
	return Hello{}, ErrFleetKey
}

// proofMAC returns the MAC with which the sender of h proves to the peer that chose
// nonce that it holds key.
func proofMAC(key []byte, h *Hello, nonce []byte) []byte {
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

func writeMessage(conn net.Conn, m Message) error {
	buf, err := Append(nil, m)
	if err != nil {
		return err
	}
	_, err = conn.Write(buf)
	return err
}

// readMessage reads one message and nothing after it. Handshake frames are small, so
// they are read unbuffered.
func readMessage[M any, P interface {
	*M
	Message
}](conn net.Conn, into P) error {
	m, err := NewReader(&frameConn{conn: conn}).Next()
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

// maxHandshakeBody is the largest body of a handshake frame in bytes.
const maxHandshakeBody = 4 << 10

// frameConn reads exactly one frame from a connection.
type frameConn struct {
	conn net.Conn
	// bodyLeft is the number of bytes of the body still to read once headerRead is
	// set.
	bodyLeft   int
	headerRead bool
}

// Read implements io.Reader. It returns ErrFrameSize for a body larger than
// maxHandshakeBody.
func (o *frameConn) Read(p []byte) (int, error) {
	if !o.headerRead {
		if len(p) < headerSize {
			return 0, ErrFrameSize
		}
		n, err := readFull(o.conn, p[:headerSize])
		if err != nil {
			return n, err
		}
		o.bodyLeft = int(binary.BigEndian.Uint32(p[:4]))
		if o.bodyLeft > maxHandshakeBody {
			return 0, ErrFrameSize
		}
		o.headerRead = true
		return n, nil
	}
	n, err := o.conn.Read(p[:min(len(p), o.bodyLeft)])
	o.bodyLeft -= n
	return n, err
}

// readFull reads until p is full or an error occurs.
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
