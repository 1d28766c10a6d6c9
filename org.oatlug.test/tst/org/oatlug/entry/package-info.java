/** Tests of the package-private classes of the daemon. */
package org.oatlug.entry;
