/** Writes log lines: JSON objects, one a line, through a bounded queue that never blocks. */
package org.oatlug.internal.log;
