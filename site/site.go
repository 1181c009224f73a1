// Package site defines the names of the fleet's locations.
package site

// Name is the name of a site: a data centre as the unit that a configuration overlay applies to.
type Name string

// DataCentre names a data centre. A site has the name of its data centre.
type DataCentre string

// Region names a group of data centres.
type Region string

// Rack names a failure domain within a data centre.
type Rack string
