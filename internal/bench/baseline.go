package bench

import "github.com/gypsumyard/gypsumyard/internal/host"

func baselineOptions(hosts int) []host.Option { return nil }
