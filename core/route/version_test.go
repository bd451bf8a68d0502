package route

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"lycheepond/core/eras"
)

// Guards against a configuration that goes back to an older version of the operator's, or is
// missed, when the platform comes back with an older copy.
func TestMergeFollowsOperatorVersion(t *testing.T) {
	before, restored := eras.Join(0, 26), eras.Join(1, 20)
	held := NewTable(Config{Revision: before, Version: 23})
	for _, tt := range []struct {
		name                         string
		next                         Config
		want                         Merge
		version, revision, wantAhead int64
	}{
		{"older copy", Config{Revision: restored, Version: 20}, Kept, 23, restored, 23},
		{"same version in the copy", Config{Revision: restored, Version: 23}, Replaced, 23, restored, 0},
		{"newer version", Config{Revision: restored + 3, Version: 25}, Replaced, 25, restored + 3, 0},
		{"newer version at a lower revision", Config{Revision: 25, Version: 25}, Replaced, 25, before, 25},
		{"late answer", Config{Revision: 24, Version: 20}, Ignored, 23, before, 0},
		{"again", Config{Revision: before, Version: 23}, Ignored, 23, before, 0},
		{"peer without versions, newer", Config{Revision: before + 1}, Replaced, 0, before + 1, 0},
		{"peer without versions, older", Config{Revision: before - 1}, Ignored, 23, before, 0},
	} {
		got, m := held.Merge(tt.next)
		if c := got.Config(); m != tt.want || c.Version != tt.version || c.Revision != tt.revision || got.Ahead() != tt.wantAhead {
			t.Errorf("%s: %v, version %d at revision %d, ahead %d", tt.name, m, c.Version, c.Revision, got.Ahead())
		}
	}
	kept, _ := held.Merge(Config{Revision: restored, Version: 20})
	if again, m := kept.Merge(Config{Revision: restored + 1, Version: 23}); m != Replaced || again.Ahead() != 0 {
		t.Errorf("written again: %v, ahead %d", m, again.Ahead())
	}
	if kept.Config().Routes == nil != (held.Config().Routes == nil) {
		t.Error("the content was not kept")
	}
}

// During an upgrade, entries with and without versions send each other configurations.
func TestConfigurationsOfAdjacentVersionsAreRead(t *testing.T) {
	own := Config{Revision: 7, Version: 23, IsAhead: true, Pools: []Pool{{Name: "p"}}}
	data, err := own.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var old Config
	if err := msgpack.Unmarshal(data, &old); err != nil || old.Revision != 7 || len(old.Pools) != 1 || old.Version != 0 {
		t.Errorf("an older entry reads %+v, %v", old, err)
	}
	if got, err := DecodeConfig(data); err != nil || got.Version != 23 || !got.IsAhead || got.Revision != 7 {
		t.Errorf("read as %+v, %v", got, err)
	}
	older, err := msgpack.Marshal(&own)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeConfig(older); err != nil || got.Version != 0 || got.Revision != 7 {
		t.Errorf("a configuration of an older entry is read as %+v, %v", got, err)
	}
	if _, err := DecodeConfig(append(older, 0xc1)); err == nil {
		t.Error("a damaged trailer was accepted")
	}
}
