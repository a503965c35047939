// Package instance describes one running guavaloomd process.
package instance
