// Package registrar builds the table of backend servers from their announcements (heartbeats).
package registrar
