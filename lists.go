package gypsumyard

// Lists is a host's local copy of the lists of customers, plans and databases.
// The versions of its objects never decrease.
type Lists interface {
	// Ready returns a channel that is closed when the lists have been loaded.
	// Until then the host admits no callers.
	Ready() <-chan struct{}
	Customer(name string) (Customer, bool)
	Plan(name string) (Plan, bool)
	Database(name string) (Database, bool)
	// Databases returns all databases, ordered by name. The slice is shared and
	// must not be modified.
	Databases() []Database
	// Versions returns the current version of each object.
	Versions() map[string]Version
	// Changes returns a channel that is closed when a list changes next.
	Changes() <-chan struct{}
}
