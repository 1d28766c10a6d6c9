/** Tests of what the package of the daemon keeps to itself. */
package org.oatlug.entry;
