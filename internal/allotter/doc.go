// Package allotter gives the places of a brittle backend server to the instances, so that all of them together never send it
// more requests than it has room for. One control instance keeps the ledger of a server; the entry instances claim places
// there for the requests that they have, and give them back.
package allotter
