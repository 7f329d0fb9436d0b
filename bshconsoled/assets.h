#ifndef BSHCONSOLED_ASSETS_H
#define BSHCONSOLED_ASSETS_H

/* The console's style sheet and script. */
extern const char console_css[];
extern const char console_js[];

#endif
