//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/gypsumyard/gypsumyard/internal/emulate/lineclient"
	"github.com/gypsumyard/gypsumyard/internal/emulate/objects"
)

const (
	browseRoute = "catalogue"
	// browseTimeout is timeoutMs of the route.
	browseTimeout = 3 * time.Second
	// rollGap is the pause between the stops of two hosts.
	rollGap = 2 * time.Second
	// rollSessions is how many sessions each host has.
	rollSessions = 16
	// beginAfter and readAfter are when each session begins its transaction and sends the
	// transaction's first statement, since its host got SIGTERM.
	beginAfter = 1500 * time.Millisecond
	readAfter  = 2700 * time.Millisecond
)

// runRoll stops and starts the hosts of a deployment of two in turn while callers are inside
// read transactions. It checks LOST: each whole request that the first host has read gets a
// complete answer.
func runRoll(program []string, r *record, trouble bool) (breaks []string, err error) {
	s, err := newSystem(program, 2, r, objects.DesiredState{
		Version: 1,
		Routes: []objects.Route{{
			Name: "r-1", Host: browseRoute, Kind: objects.KindBounded, TimeoutMs: browseTimeout.Milliseconds(), TargetLatencyMs: 800, Priority: 2,
			Service: groupName, MaxStalenessMs: 1500,
		}},
		Services: []objects.Service{{Name: groupName, ConnectionLimit: 34, SyncReplicas: 1}},
		Limits:   objects.Limits{TransactionIdleMs: 3000},
	})
	defer s.close()
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	r.logf("scenario begins")
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n, h := range s.hosts {
		stop := began.Add(time.Duration(n) * rollGap)
		if trouble {
			wg.Go(func() {
				time.Sleep(time.Until(stop))
				s.restart(h)
			})
		}
		for k := range rollSessions {
			wg.Go(func() {
				name := fmt.Sprintf("c%d-%d", n+1, k+1)
				if b := browse(h, name, stop.Add(time.Duration(k)*15*time.Millisecond), r); b != "" {
					mu.Lock()
					defer mu.Unlock()
					breaks = append(breaks, b)
				}
			})
		}
	}
	wg.Wait()
	return breaks, nil
}

// browse runs a read transaction: BEGIN, a pause, and a read. It returns how LOST was
// broken, or an empty string.
func browse(h *host, name string, stop time.Time, r *record) string {
	c, err := lineclient.Dial(h.callers, browseRoute, name)
	if err != nil {
		r.logf("%s: no session at %s: %v", name, h.name, err)
		return ""
	}
	defer c.Close()
	query := func(text string) (ok bool, sent time.Time) {
		sent = time.Now()
		r.logf("%s sends %s to %s", name, text, h.name)
		a, ok := c.Query(text)
		if ok {
			r.logf("%s is answered: %s %q, %v after it was sent", name, text, a.Code, time.Since(sent).Round(time.Millisecond))
			return true, sent
		}
		r.logf("%s: connection ends without an answer to %s, %v after it was sent", name, text, time.Since(sent).Round(time.Millisecond))
		return false, sent
	}
	time.Sleep(time.Until(stop.Add(beginAfter)))
	if ok, _ := query("BEGIN READ"); !ok {
		return ""
	}
	time.Sleep(time.Until(stop.Add(readAfter)))
	ok, sent := query("READ rug")
	if took := time.Since(sent); !ok && took > lossSlack && took < browseTimeout {
		return fmt.Sprintf("%s: READ rug was sent whole to %s, and the connection ended %v later without an answer (timeoutMs %d)",
			name, h.name, took.Round(time.Millisecond), browseTimeout.Milliseconds())
	}
	return ""
}
