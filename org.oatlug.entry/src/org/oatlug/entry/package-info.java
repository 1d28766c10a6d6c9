/** The daemon of an entry instance: settings, wiring and main, nothing else. */
package org.oatlug.entry;
