// Package decoder decodes INI text into tagged structs, checks every key and reports each problem with its line number.
package decoder
