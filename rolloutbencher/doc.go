// Package rolloutbencher measures how soon the promoter rolls bad versions back, and how often it rolls good ones back.
package rolloutbencher
