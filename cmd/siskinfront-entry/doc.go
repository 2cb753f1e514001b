// Command siskinfront-entry runs an entry on the users' platform, in front of upstreams without agents. It links only what
// that needs, because memory is priced.
package main
