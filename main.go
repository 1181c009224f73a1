// Command hibiscuslane is a fleet capacity and maintenance manager.
package main

import (
	"os"

	"hibiscuslane.example/hibiscuslane/cmd"
)

func main() {
	os.Exit(cmd.Execute())
}
