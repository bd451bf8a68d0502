package route

import (
	"bytes"
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// Merge is the effect of a configuration on the one in force.
type Merge uint8

// The effects of a configuration.
const (
	// Ignored means that the configuration is not newer than the one in force.
	Ignored Merge = iota
	// Kept means that the platform has gone back to an older version of the operator's. The
	// one in force stays; its revision is now that of the older one.
	Kept
	// Replaced means that the configuration is in force now.
	Replaced
)

// Merge returns the table in force after a configuration has been read. The operator's
// versions decide, since a platform that comes back with an older copy holds an older version
// at a newer revision; without versions the revisions do.
func (t *Table) Merge(next Config) (*Table, Merge) {
	cur := t.cfg
	hasVersions := cur.Version > 0 && next.Version > 0
	switch {
	case hasVersions && next.Version < cur.Version && next.Revision > cur.Revision:
		kept := *t
		kept.cfg.Revision, kept.cfg.IsAhead = next.Revision, true
		return &kept, Kept
	case hasVersions && next.Version > cur.Version:
		next.IsAhead = next.IsAhead || next.Revision < cur.Revision
		next.Revision = max(next.Revision, cur.Revision)
	case hasVersions && next.Version < cur.Version, next.Revision <= cur.Revision:
		return t, Ignored
	}
	return NewTable(next), Replaced
}

// ErrTrailer reports that an encoded configuration is damaged.
var ErrTrailer = errors.New("route: the version after a configuration cannot be read: run the same version of the program on both ends")

// Encode returns the configuration as entries send it to each other. What older entries do
// not know follows the part that they read.
func (c *Config) Encode() ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	if err := e.Encode(c); err != nil {
		return nil, err
	}
	err := e.EncodeMulti(c.Version, c.IsAhead)
	return b.Bytes(), err
}

// DecodeConfig decodes a configuration that another entry sent. The version is zero if that
// entry does not know versions.
func DecodeConfig(data []byte) (Config, error) {
	var c Config
	d := msgpack.NewDecoder(bytes.NewReader(data))
	if err := d.Decode(&c); err != nil {
		return Config{}, err
	}
	switch err := d.DecodeMulti(&c.Version, &c.IsAhead); {
	case errors.Is(err, io.EOF):
		c.Version, c.IsAhead = 0, false
	case err != nil:
		return Config{}, errors.Join(ErrTrailer, err)
	}
	return c, nil
}
