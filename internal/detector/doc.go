// Package detector tells how a connection ended when one goroutine writes to it while another one reads.
package detector
