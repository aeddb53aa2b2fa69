// Package parser parses, validates, formats, compares and patches the environment document that operators write.
package parser
