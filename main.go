// Command hibiscuslane manages the capacity and the maintenance of a fleet.
package main

import (
	"os"

	"hibiscuslane.example/hibiscuslane/cmd"
)

func main() {
	os.Exit(cmd.Execute())
}
