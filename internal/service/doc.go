// Package service defines the services of a configuration bundle and their routes.
package service
