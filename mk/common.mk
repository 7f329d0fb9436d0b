# Shared compiler settings.  TOP is the repository root.
PKGS = apr-1 apr-util-1 glib-2.0 jansson libcurl libmicrohttpd libsodium \
       libxxhash msgpack zlib
BUILD ?= $(TOP)/build
CC = gcc
WARN = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
       -Wmissing-prototypes -Wpointer-arith -Wvla
CFLAGS ?= -O2 -g
CPPFLAGS_ALL = -D_GNU_SOURCE -I$(TOP)/lib -I$(TOP) -I$(TOP)/regress -I$(TOP)/bench \
	       $(PKG_CFLAGS) $(CPPFLAGS)
CFLAGS_ALL = -std=gnu11 $(WARN) -fno-strict-aliasing $(CFLAGS)
ifndef PKG_CFLAGS
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS))
PKG_LIBS := $(shell pkg-config --libs $(PKGS)) -lm -lpthread
export PKG_CFLAGS PKG_LIBS
endif
LIBBSH = $(BUILD)/libbsh.a
