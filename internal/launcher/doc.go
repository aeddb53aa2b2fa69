// Package launcher builds one instance from its settings, starts its components in order and stops them in reverse.
package launcher
