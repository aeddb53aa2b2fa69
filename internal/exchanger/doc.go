// Package exchanger sends requests to backend servers and reads their responses. Backend servers are not trusted: what
// they send is bounded in bytes and in time, and a response counts only for the request whose id it bears.
package exchanger
