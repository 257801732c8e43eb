// Package admit implements admission control for one database: it queues
// requests and decides when and on which instance each of them runs.
package admit
