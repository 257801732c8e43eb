package member

import (
	"fmt"
	"testing"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/rendezvous"
	"github.com/matryer/is"
)

// hostsOf returns candidates with the given capacities.
func hostsOf(millicores ...int) (list []candidate) {
	for n, m := range millicores {
		h := gypsumyard.Host{Name: fmt.Sprintf("host-%03d", n), Millicores: m}
		list = append(list, candidate{h, rendezvous.HashName(h.Name)})
	}
	return list
}

// uneven returns 8 large hosts and 64 of about a quarter of their capacity.
func uneven() []candidate {
	list := make([]int, 72)
	for n := range list {
		list[n] = 192
		if n%9 == 0 {
			list[n] = 800
		}
	}
	return hostsOf(list...)
}

// Pattern: few databases, and a fleet in which most hosts are too small for the peak load
// of one.
//
// Guards against databases that are owned by small hosts as often as by large ones.
func TestOwnersByCapacity(t *testing.T) {
	is := is.New(t)
	large := 0
	const databases = 1000
	owned := map[string]int{}
	for n := range databases {
		h, ok := topCandidate(uneven(), fmt.Sprintf("db-%d", n))
		is.True(ok)
		owned[h.Name]++
		if h.Millicores == 800 {
			large++
		}
	}
	// The squares of the capacities give the large hosts 68% of all.
	is.True(large > databases*6/10)
	for name, n := range owned {
		if n > databases*3/20 {
			t.Errorf("%s owns %d of %d databases", name, n, databases)
		}
	}
}

// Guards against an order that changes where capacities are equal, or not known of all
// hosts: these hosts must agree with those of earlier versions.
func TestOwnersWithoutCapacities(t *testing.T) {
	is := is.New(t)
	plain, equal, partial := hostsOf(0, 0, 0, 0, 0), hostsOf(400, 400, 400, 400, 400), hostsOf(400, 0, 800, 400, 200)
	for n := range 200 {
		key := fmt.Sprintf("db-%d", n)
		want, _ := topCandidate(plain, key)
		for _, c := range [][]candidate{equal, partial} {
			got, _ := topCandidate(c, key)
			is.Equal(got.Name, want.Name)
		}
	}
}

// Guards against databases that move between hosts that remain when one leaves.
func TestOwnersByCapacityMoveLittle(t *testing.T) {
	is := is.New(t)
	all := uneven()
	without := append(append([]candidate(nil), all[:9]...), all[10:]...)
	for n := range 500 {
		key := fmt.Sprintf("db-%d", n)
		before, _ := topCandidate(all, key)
		after, _ := topCandidate(without, key)
		is.True(before.Name == all[9].host.Name || before.Name == after.Name)
	}
}

// Pattern: a few hosts serve a large desired state to all others, most of which have narrow
// links and little capacity.
//
// Guards against a host of little capacity among these few: the state leaves it too slowly
// for the others to have it in time, and its own callers wait meanwhile.
func TestTopRankedAreLarge(t *testing.T) {
	is := is.New(t)
	for n := range 300 {
		key := fmt.Sprintf("list-%d", n)
		for _, c := range topCandidates(uneven(), key, 3) {
			is.Equal(c.host.Millicores, 800)
		}
		filled := topCandidates(hostsOf(192, 192, 800, 192, 500, 192), key, 3)
		is.True(filled[0].host.Millicores >= 500 && filled[1].host.Millicores >= 500)
		is.Equal(filled[2].host.Millicores, 192)
		is.Equal(len(topCandidates(hostsOf(400, 100), key, 3)), 2)
	}
}

// Guards against an order of the top hosts that changes where capacities are equal, or not
// known of all hosts, and against a host that is always the first.
func TestTopRankedWithoutCapacities(t *testing.T) {
	is := is.New(t)
	plain, equal, partial := hostsOf(0, 0, 0, 0, 0), hostsOf(400, 400, 400, 400, 400), hostsOf(400, 0, 800, 400, 200)
	first := map[string]bool{}
	for n := range 200 {
		key := fmt.Sprintf("list-%d", n)
		want := topCandidates(plain, key, 3)
		for _, list := range [][]candidate{equal, partial} {
			for n, c := range topCandidates(list, key, 3) {
				is.Equal(c.host.Name, want[n].host.Name)
			}
		}
		first[topCandidates(uneven(), key, 1)[0].host.Name] = true
	}
	is.Equal(len(first), 8)
}
