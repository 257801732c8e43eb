package gypsumyard

// Lists is a host's copy of the customers, the plans and the databases. The
// versions of its objects never go back.
type Lists interface {
	// Ready returns a channel that is closed when the lists are known. Until
	// then the host admits nobody.
	Ready() <-chan struct{}
	Customer(name string) (Customer, bool)
	Plan(name string) (Plan, bool)
	Database(name string) (Database, bool)
	// Databases returns all databases, ordered by name. The slice is shared
	// and may not be changed.
	Databases() []Database
	// Versions returns the version in force of each object.
	Versions() map[string]Version
	// Changes returns a channel that is closed at the next change.
	Changes() <-chan struct{}
}
