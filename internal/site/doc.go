// Package site runs a whole deployment on loopback in one process: emulated
// databases and platform, seeded lists, and hosts.
package site
