"""HTTP/1.1 connections to workers that may answer twice, built on `h11`.

A worker's second answer travels on the connection on which its request was sent, and may arrive in the place
of a later answer. Each answer therefore names the id of its request, and no id is sent twice on a connection.
"""
