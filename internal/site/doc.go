// Package site runs a complete deployment on loopback in one process: emulated
// databases, an emulated platform with seeded lists, and hosts.
package site
