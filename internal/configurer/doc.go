// Package configurer reads and checks the settings file of an instance and generates its reference page.
package configurer
