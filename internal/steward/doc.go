// Package steward runs a control instance: it handles announcements of backend servers, the policy, roll-outs and the
// members of the record.
package steward
