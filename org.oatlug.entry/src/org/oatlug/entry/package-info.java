/** The daemon: the main class, the wiring of the instances and the reload of settings. */
package org.oatlug.entry;
