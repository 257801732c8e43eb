// Package platform is the client of the platform's service: the object API
// and the list of hosts. It keeps the host's calls within a budget, combines
// reads of one name and bounds every wait.
package platform
