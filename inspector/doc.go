// Package inspector checks configurations and reports errors and probable mistakes with their place in the file.
package inspector
