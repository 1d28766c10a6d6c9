/** The operators' command line, one class a command. */
package org.oatlug.pgm;
