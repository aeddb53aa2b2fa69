// Package changer accepts or refuses changes to the environment documents and remembers accepted changes by id.
package changer
