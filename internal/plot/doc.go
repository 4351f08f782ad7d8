// Package plot draws bar charts as inline SVG for self-contained HTML pages.
package plot
