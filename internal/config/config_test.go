package config_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/gypsumyard/gypsumyard/internal/config"
	"github.com/matryer/is"
	"golang.org/x/tools/txtar"
)

// Guards against errors in a settings file that are reported one at a time, at
// the wrong position or not at all. Each archive holds the settings and the
// expected report.
func TestReports(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(f)
			is.NoErr(err)
			_, err = config.Parse("host.jsonc", archive.Files[0].Data)
			report := "ok\n"
			if err != nil {
				report = err.Error() + "\n"
			}
			is.Equal(report, string(archive.Files[1].Data))
		})
	}
}

// Guards against an unreadable file being treated as an empty one.
func TestMissingFile(t *testing.T) {
	is := is.New(t)
	_, err := config.Load(filepath.Join(t.TempDir(), "none.jsonc"))
	is.True(os.IsNotExist(err) || strings.Contains(err.Error(), "no such file"))
}

// Guards against marshaled settings that cannot be parsed again, or that parse to
// other values.
func TestReadsWhatItWrites(t *testing.T) {
	is := is.New(t)
	archive, err := txtar.ParseFile("testdata/valid.txtar")
	is.NoErr(err)
	want, err := config.Parse("host.jsonc", archive.Files[0].Data)
	is.NoErr(err)
	want.Peers.Seeds = nil
	data, err := json.Marshal(want)
	is.NoErr(err)
	got, err := config.Parse("host.json", data)
	is.NoErr(err)
	is.Equal(got, want)
}

// Guards against input that makes the parser panic, and against accepted settings
// without a host name.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"host": {"name": "a"}, /* x */ "peers": {"seeds": ["127.0.0.1:1",]}}`))
	f.Add([]byte(`{"callers": {"buffer-total": "1GiB"}, "owner": []}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := config.Parse("f", data)
		if err == nil && s.Host.Name == "" {
			t.Fatal("accepted settings without a host name")
		}
	})
}
