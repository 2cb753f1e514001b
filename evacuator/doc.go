// Package evacuator keeps the operator's orders to evacuate data centres and decides which data centres get no new requests, also when the
// store comes back from an older copy that lacks an order.
package evacuator
