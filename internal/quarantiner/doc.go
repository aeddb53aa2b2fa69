// Package quarantiner detects requests, and parts of prompts, that crash backend servers, and blocks them.
package quarantiner
