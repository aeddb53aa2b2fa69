// Package steward runs a control instance: announcements, the policy, roll-outs and the members of the record.
package steward
