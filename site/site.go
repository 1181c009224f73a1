// Package site defines the places of the fleet.
package site

// Name is the unit of a configuration overlay: one data centre.
type Name string

// DataCentre names a data centre. A site has the name of its data centre.
type DataCentre string

// Region names a group of data centres.
type Region string

// Rack names a failure domain within a data centre.
type Rack string
