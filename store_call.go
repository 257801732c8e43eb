package gypsumyard

// A CallKind is the kind of a call to the platform.
type CallKind string

// The kinds of calls to the platform. All but CallPromote go to its store.
const (
	// CallList reads one page of the objects of a kind.
	CallList CallKind = "list"
	// CallStaleList is a CallList that costs a tenth, whose objects may be seconds
	// old.
	CallStaleList CallKind = "stale_list"
	// CallRead reads one object.
	CallRead CallKind = "read"
	// CallWatch waits for changes, and is one call however long it waits.
	CallWatch CallKind = "watch"
	// CallWrite creates or replaces one object.
	CallWrite CallKind = "write"
	// CallDelete removes one object.
	CallDelete CallKind = "delete"
	// CallPromote requests a promotion.
	CallPromote CallKind = "promote"
)

// A CallReason is why a host makes a call to the platform.
type CallReason string

// The reasons for calls to the platform.
const (
	// ReasonStart: the host has started and has no copies of the lists.
	ReasonStart CallReason = "start"
	// ReasonWatcher: the host is one of those that watch the store for all.
	ReasonWatcher CallReason = "watcher"
	// ReasonStandIn: the host is no watcher, and has had no valid answer from one.
	ReasonStandIn CallReason = "stand_in"
	// ReasonRestore: the store was restored since the lists were copied.
	ReasonRestore CallReason = "restore"
	// ReasonRegistration: the host writes or removes the entry about itself.
	ReasonRegistration CallReason = "registration"
	// ReasonHosts: the host looks for other hosts.
	ReasonHosts CallReason = "hosts"
	// ReasonClaim: the host allocates or checks the generation of a promotion, of a
	// group that it owns or for another host.
	ReasonClaim CallReason = "claim"
	// ReasonPromotion: the host orders a promotion.
	ReasonPromotion CallReason = "promotion"
)
