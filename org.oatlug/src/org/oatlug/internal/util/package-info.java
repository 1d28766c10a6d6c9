/** Small helpers without state of their own. */
package org.oatlug.internal.util;
