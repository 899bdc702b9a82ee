package greengageroute

import "fmt"

func ExampleOrderWindow() {
	window := NewOrderWindow()
	window = window.WithBegun(false).WithEnded(false, false, true)
	fmt.Println(window.Limit(), "after an order that ended late")
	window = window.WithBegun(false).WithEnded(false, true, false)
	fmt.Println(window.Limit(), "after an answer")
	for window.Admits(true) {
		window = window.WithBegun(true)
	}
	fmt.Println("another repeat:", window.Admits(true), "a new order:", window.Admits(false))
	// Output:
	// 12 after an order that ended late
	// 13 after an answer
	// another repeat: false a new order: true
}
