package emulate

import (
	"fmt"
	"time"

	"github.com/gypsumyard/gypsumyard"
	"github.com/gypsumyard/gypsumyard/internal/emulate/group"
)

// storeTarget is the name of the platform's service in a Fault.
const storeTarget = "store"

// A Fault is a request to start or end one fault. Its target is an instance, a
// group for all its instances, GROUP/primary, or "store". Its kind is one of
//
//	kill, restart, silence, heal       instances
//	freeze, partition, isolate, leaving instances; "off" ends it
//	lag                                instances; delay and jitter
//	outage                             store; "off" ends it
//	slow                               store; delay of responses
//	lose-answers                       store; count of updates, -1 for all
//	host, remove-host                  store; host
//	host-lag                           store; delay
type Fault struct {
	Target string              `json:"target"`
	Kind   string              `json:"kind"`
	Off    bool                `json:"off,omitempty"`
	Delay  gypsumyard.Duration `json:"delay,omitempty"`
	Jitter gypsumyard.Duration `json:"jitter,omitempty"`
	Count  int                 `json:"count,omitempty"`
	Host   gypsumyard.Host     `json:"host,omitzero"`
}

// Apply starts or ends a fault.
func (e *Environment) Apply(f Fault) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("fault %q at %q: %w", f.Kind, f.Target, err)
		}
	}()
	if f.Target == storeTarget {
		return e.applyToStore(f)
	}
	instances, err := e.instances(f.Target)
	if err != nil {
		return err
	}
	for _, in := range instances {
		if err := applyToInstance(in, f); err != nil {
			return err
		}
	}
	return nil
}

func applyToInstance(in *group.Instance, f Fault) error {
	switch f.Kind {
	case "kill":
		in.Kill()
	case "restart":
		return in.Restart()
	case "heal":
		return in.Heal()
	case "silence":
		in.HangConnections()
	case "freeze":
		if f.Off {
			in.Thaw()
		} else {
			in.Freeze()
		}
	case "partition":
		in.Partition(!f.Off)
	case "isolate":
		in.Isolate(!f.Off)
	case "leaving":
		in.SetLeaving(!f.Off)
	case "lag":
		in.SetLag(time.Duration(f.Delay), time.Duration(f.Jitter))
	default:
		return fmt.Errorf("instances have no such fault")
	}
	return nil
}

func (e *Environment) applyToStore(f Fault) error {
	switch f.Kind {
	case "outage":
		e.store.SetOutage(!f.Off)
	case "slow":
		e.store.SetDelay(time.Duration(f.Delay))
	case "lose-answers":
		e.store.DropResponses(f.Count)
	case "host":
		return e.store.SetHost(f.Host)
	case "remove-host":
		e.store.RemoveHost(f.Host.Name)
	case "host-lag":
		e.store.SetHostLag(time.Duration(f.Delay))
	default:
		return fmt.Errorf("the store has no such fault")
	}
	return nil
}
