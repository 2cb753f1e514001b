// Command siskinfront-entry runs an entry on the users' platform, in front of upstreams without agents. It links only
// the packages that this needs, because memory is billed.
package main
