/** Operators' command line, with a class per command. */
package org.oatlug.pgm;
