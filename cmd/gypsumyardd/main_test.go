package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"gypsumyardd": func() { os.Exit(run(os.Args)) },
	})
}

func TestScript(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}
