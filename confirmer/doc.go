// Package confirmer decides how long the calls with which entries follow a table of the store may wait, from what the entries tell each
// other about the last change of the table, and encodes what they tell. It sends and receives nothing itself.
package confirmer
